//! The text that the fake engine generates. It is a function of the release and the prompt, so that a
//! client can detect a completion of another request, of mixed releases, or a truncated one.

use base::Digest;

/// The `n`th token that `release` generates for `prompt`.
pub fn token(release: &str, prompt: &str, n: usize) -> String {
    let digest = Digest::of(format!("{release}\n{prompt}\n{n}").as_bytes());
    format!("{} ", &digest.to_string()[..6])
}

/// The complete text of `tokens` tokens that `release` generates for `prompt`.
pub fn expected_completion(release: &str, prompt: &str, tokens: usize) -> String {
    (0..tokens).map(|n| token(release, prompt, n)).collect()
}
