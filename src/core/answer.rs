//! What the status of a server's answer says.

/// Class of a final answer of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// The server did what the request asked for.
    Success,
    /// The server did not, which may be the fault of the request or of the server.
    Rejection,
    /// The server failed.
    Failure,
}

impl Class {
    /// Returns the class of a status.
    ///
    /// A status that the protocol does not define, and an interim one in place of the final
    /// answer, is a failure.
    pub const fn of(status: u16) -> Self {
        match status {
            200..=299 => Class::Success,
            300..=499 => Class::Rejection,
            _ => Class::Failure,
        }
    }

    /// Returns whether the server failed.
    pub const fn is_failure(self) -> bool {
        matches!(self, Class::Failure)
    }
}
