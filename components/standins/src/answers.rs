//! The text that the stand-in engine generates: a function of the release and the prompt, so that a
//! reader can tell a foreign, mixed or cut answer from its own.

use base::Digest;

/// The `n`th token that `release` answers to `prompt`.
pub fn token(release: &str, prompt: &str, n: usize) -> String {
    let digest = Digest::of(format!("{release}\n{prompt}\n{n}").as_bytes());
    format!("{} ", &digest.to_string()[..6])
}

/// The whole answer of `tokens` tokens.
pub fn expected_completion(release: &str, prompt: &str, tokens: usize) -> String {
    (0..tokens).map(|n| token(release, prompt, n)).collect()
}
