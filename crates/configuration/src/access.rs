//! Authentication of customer keys and access decisions.

use wagtailmoor_core::{KeyDigest, Reason};

use crate::{Configuration, Customer, ResolvedRoute, RouteTemplate, Template};

/// Reason for which a request is refused access.
pub type AccessError = Reason;

/// Route of a request that was granted access.
pub type Admitted<'a> = ResolvedRoute<'a>;

impl Configuration {
    /// Returns the customer of a key, comparing digests in constant time.
    pub fn authenticate(&self, digest: &KeyDigest) -> Option<&Customer> {
        let (found, key) = self.keys.get_entry(digest)?;
        match found.matches(digest) {
            true => self.customers.get(&key.customer),
            false => None,
        }
    }

    /// Decides whether a request may run, and on which route.
    ///
    /// # Errors
    ///
    /// The reason of the refusal, as the client receives it.
    pub fn admit<'a>(
        &'a self,
        digest: Option<&KeyDigest>,
        method: &str,
        path: &'a str,
    ) -> Result<Admitted<'a>, AccessError> {
        match digest {
            Some(digest) => {
                let customer = self.authenticate(digest).ok_or(Reason::KeyRefused)?;
                self.admit_customer(customer, method, path)
            }
            None => self.admit_anonymous(method, path),
        }
    }

    fn admit_customer<'a>(
        &'a self,
        customer: &'a Customer,
        method: &str,
        path: &'a str,
    ) -> Result<Admitted<'a>, AccessError> {
        let template = self.templates.get(&customer.template).ok_or(Reason::RouteUnknown)?;
        let (route, found) = find_route(template, method, path).ok_or(Reason::RouteUnknown)?;
        match found.customer {
            Some(named) if named != customer.customer.as_str() => Err(Reason::RouteForbidden),
            _ => resolve(template, route, found.key, Some(customer)),
        }
    }

    fn admit_anonymous<'a>(
        &'a self,
        method: &str,
        path: &'a str,
    ) -> Result<Admitted<'a>, AccessError> {
        let mut refusal = Reason::RouteUnknown;
        for template in self.templates.values() {
            let Some((route, found)) = find_route(template, method, path) else { continue };
            let customer = found.customer.and_then(|named| {
                self.customers.values().find(|known| {
                    known.customer.as_str() == named && known.template == template.template
                })
            });
            match customer {
                Some(customer) if customer.is_open(route) => {
                    return resolve(template, route, found.key, Some(customer));
                }
                None if route.open && found.customer.is_none() => {
                    return resolve(template, route, found.key, None);
                }
                _ => refusal = Reason::KeyMissing,
            }
        }
        Err(refusal)
    }
}

fn find_route<'a, 'p>(
    template: &'a Template,
    method: &str,
    path: &'p str,
) -> Option<(&'a RouteTemplate, crate::PathMatch<'p>)> {
    template
        .routes
        .iter()
        .filter(|route| route.matches_method(method))
        .find_map(|route| route.path.matches(path).map(|found| (route, found)))
}

fn resolve<'a>(
    template: &'a Template,
    route: &'a RouteTemplate,
    key: Option<&'a str>,
    customer: Option<&'a Customer>,
) -> Result<Admitted<'a>, AccessError> {
    let back_end = template.back_end(route).ok_or(Reason::RouteUnknown)?;
    let idempotent = customer.map_or(route.idempotent, |customer| customer.is_idempotent(route));
    Ok(ResolvedRoute { template, route, back_end, key, customer, idempotent })
}
