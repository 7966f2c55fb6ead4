//! A newtype for each kind of name, over a shared immutable string.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Clones share the string.
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Create a name.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Borrow the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a caller: a customer whose requests share one allowance.
    CallerName
);
name_type!(
    /// The name of a kind of request within a service.
    KindName
);
name_type!(
    /// The name of a data centre.
    DataCentreName
);
name_type!(
    /// The name of a region: data centres that are near one another.
    RegionName
);
name_type!(
    /// The name of a route from a host and path to services.
    RouteName
);
name_type!(
    /// The name of a service: a set of interchangeable upstreams.
    ServiceName
);
name_type!(
    /// The name of an upstream: one back-end server.
    UpstreamName
);
