//! Host names as routes are found by.

/// Return a host in lower case, without its port and without the dot of the root.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::normal_host;
///
/// assert_eq!(normal_host("Shop.Example.:80"), "shop.example");
/// assert_eq!(normal_host("[2001:DB8::7]"), "[2001:db8::7]");
/// ```
#[must_use]
pub fn normal_host(text: &str) -> String {
    let name = match text.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => text,
    };
    name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase()
}
