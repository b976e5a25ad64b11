//! The error type of the library.

use std::fmt;

/// An error of the library.
///
/// What went wrong in detail is in its text; what a program can act on is in
/// its [`Category`].
pub struct Error {
    code: Code,
    subject: String,
}

/// What kind of error occurred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A setting or argument cannot be used.
    Usage,
    /// The other side refused.
    Refused,
    /// The configuration has changed since it was read.
    Conflict,
    /// The other side did not answer.
    Unavailable,
    /// Something did not happen in time.
    TimedOut,
    /// The operating system refused something.
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

    /// Creates an error about a setting or argument.
    pub fn usage(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Usage(problem.into()))
    }

    /// Creates an error about a refusal by the other side.
    pub fn refused(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Refused(problem.into()))
    }

    /// Creates an error about a change that was based on an old number.
    pub fn conflict(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Conflict(problem.into()))
    }

    /// Creates an error about the other side not answering.
    pub fn unavailable(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::Unavailable(problem.into()))
    }

    /// Creates an error about something that did not happen in time.
    pub fn timed_out(subject: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::new(subject, Code::TimedOut(problem.into()))
    }

    /// Creates an error from one of the operating system.
    pub fn io(subject: impl Into<String>, e: &std::io::Error) -> Self {
        Self::new(subject, Code::Io(e.to_string()))
    }

    /// Returns what kind of error this is.
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

    /// Returns the setting, argument or address that the error is about.
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
