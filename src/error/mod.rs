//! The error type of the library.

use std::fmt;

/// An error returned by the library.
///
/// Its text describes the details; its [`Category`] is what a program can act
/// on.
pub struct Error {
    code: Code,
    subject: String,
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A setting or argument is invalid.
    Usage,
    /// The peer refused the request.
    Refused,
    /// The configuration has changed since it was read.
    Conflict,
    /// The peer did not answer.
    Unavailable,
    /// An operation did not complete in time.
    TimedOut,
    /// The operating system reported an error.
    Io,
}

#[derive(Clone, Debug)]
enum Code {
    Usage(String),
    Refused(String),
    Conflict(String),
    Unavailable(String),
    TimedOut(String),
    Io(String),
}

impl Error {
    fn new(subject: impl Into<String>, code: Code) -> Self {
        Self {
            code,
            subject: subject.into(),
        }
    }

    /// Creates an error about an invalid setting or argument.
    pub fn usage(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Usage(problem.into()))
    }

    /// Creates an error about a request that the peer refused.
    pub fn refused(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Refused(problem.into()))
    }

    /// Creates an error about a change based on an outdated configuration number.
    pub fn conflict(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Conflict(problem.into()))
    }

    /// Creates an error about a peer that did not answer.
    pub fn unavailable(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Unavailable(problem.into()))
    }

    /// Creates an error about an operation that did not complete in time.
    pub fn timed_out(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::TimedOut(problem.into()))
    }

    /// Creates an error from an I/O error of the operating system.
    pub fn io(subject: impl Into<String>, e: &std::io::Error) -> Self {
        Self::new(subject, Code::Io(e.to_string()))
    }

    /// Returns the category of the error.
    pub fn category(&self) -> Category {
        match self.code {
            Code::Usage(_) => Category::Usage,
            Code::Refused(_) => Category::Refused,
            Code::Conflict(_) => Category::Conflict,
            Code::Unavailable(_) => Category::Unavailable,
            Code::TimedOut(_) => Category::TimedOut,
            Code::Io(_) => Category::Io,
        }
    }

    /// Returns the setting, argument or address that the error concerns.
    pub fn subject(&self) -> &str {
        &self.subject
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Code::Usage(text)
        | Code::Refused(text)
        | Code::Conflict(text)
        | Code::Unavailable(text)
        | Code::TimedOut(text)
        | Code::Io(text)) = &self.code;
        if self.subject.is_empty() {
            f.write_str(text)
        } else {
            write!(f, "{}: {text}", self.subject)
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {self})", self.category())
    }
}

impl std::error::Error for Error {}
