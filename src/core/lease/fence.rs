//! Fencing tokens, which grow whenever the holder of a lease changes.
//!
//! A store that returns from an older copy has lost the tokens given out since. A token
//! therefore begins with the era of the store in which its lease was acknowledged: all
//! tokens of an era are above those of earlier ones, and no node has to remember them.

/// Bits of a token that hold the number of the lease within its era.
///
/// A token with a 16-bit era has 52 bits, which a reader that keeps numbers as doubles
/// holds without loss.
const NUMBER_BITS: u32 = 36;

/// Returns the first token of an era.
///
/// In a store without eras, which counts as era 0, the first token is 1.
pub const fn first(era: u64) -> u64 {
    (era << NUMBER_BITS) | 1
}

/// Returns the era of a token.
pub const fn era_of(token: u64) -> u64 {
    token >> NUMBER_BITS
}
