//! The macro that defines the 128-bit ids of this crate.

/// Defines a 128-bit id that is displayed and serialized as 32 hexadecimal digits.
macro_rules! hex_id {
    ($(#[$meta:meta])* $name:ident, $what:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u128);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: u128) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u128 {
                self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = ::wagtailmoor_core::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let error =
                    || ::wagtailmoor_core::ParseError::new($what, text, "32 hexadecimal digits");
                match text.len() {
                    32 if text.bytes().all(|byte| byte.is_ascii_hexdigit()) => {
                        u128::from_str_radix(text, 16).map(Self).map_err(|_| error())
                    }
                    _ => Err(error()),
                }
            }
        }

        impl ::serde::Serialize for $name {
            fn serialize<S: ::serde::Serializer>(&self, target: S) -> Result<S::Ok, S::Error> {
                target.collect_str(self)
            }
        }

        impl<'de> ::serde::Deserialize<'de> for $name {
            fn deserialize<D: ::serde::Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
                let text = <::std::string::String as ::serde::Deserialize>::deserialize(source)?;
                text.parse().map_err(::serde::de::Error::custom)
            }
        }
    };
}
