//! Macros that define newtypes with `Display` and `FromStr`.

/// Defines a text id: 1 to 64 characters of `[a-z0-9._-]`, checked when parsed or deserialized.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident, $what:literal) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(::std::sync::Arc<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::parse_error::check_text_id($what, text)?;
                Ok(Self(text.into()))
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

/// Defines a number newtype whose text form is the number followed by an optional unit.
#[macro_export]
macro_rules! number {
    ($(#[$meta:meta])* $name:ident, $inner:ty, $what:literal, $unit:literal) => {
        $(#[$meta])*
        #[::wagtailmoor_derive::scalar]
        #[derive(Default)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(formatter, "{}{}", self.0, $unit)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                digits
                    .parse()
                    .map(Self)
                    .map_err(|_| $crate::ParseError::new($what, text, "a whole number"))
            }
        }
    };
}

/// Defines a counter: a number newtype that can be incremented.
macro_rules! counter {
    ($(#[$meta:meta])* $name:ident, $what:literal) => {
        number!($(#[$meta])* $name, u64, $what, "");

        impl $name {
            /// Returns the next higher value.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}
