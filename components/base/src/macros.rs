//! Macros that give the shared value types their common derives.

/// Declares an integer newtype with the common derives.
#[macro_export]
macro_rules! number {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        $(#[$meta])*
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self)
            }
        }

        impl $name {
            /// Returns the next higher value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

/// Declares a text identifier that is cheap to clone and validated when it is parsed.
#[macro_export]
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        $(#[$meta])*
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseIdError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                $crate::ParseIdError::check(s)?;
                Ok(Self(s.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ParseIdError;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }
    };
}

/// Declares a plain data type that processes exchange or that tests compare.
#[macro_export]
macro_rules! message {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis enum $($rest)*
    };
}
