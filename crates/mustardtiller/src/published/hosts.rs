//! Parses the text of the host list.

use mustardtiller_core::HostList;
use mustardtiller_core::Member;
use mustardtiller_core::MemberState;

/// A host list, and the lines of its text that name no host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ParsedHosts {
    /// The hosts of the valid lines.
    pub list: HostList,
    /// The malformed lines, each cut to 100 characters.
    pub malformed: Vec<String>,
}

/// Parse a host list: one `NAME PLACE ADDRESS live|leaving` per line.
///
/// A malformed line names no host; the others hold.
///
/// # Errors
///
/// Returns the first malformed line, cut to 100 characters, if no line is valid.
///
/// # Examples
///
/// ```
/// use mustardtiller::parse_hosts;
///
/// let text = "katalog-1 jadran-a 127.0.0.1:9001 live\nkatalog-2 jadran-a\n";
/// let parsed = parse_hosts(text).unwrap();
/// assert_eq!(parsed.list.members.len(), 1);
/// assert_eq!(parsed.malformed, ["katalog-2 jadran-a"]);
/// ```
pub fn parse_hosts(text: &str) -> Result<ParsedHosts, String> {
    let lines = text.lines().map(str::trim);
    let mut parsed = ParsedHosts::default();
    for line in lines.filter(|line| !line.is_empty() && !line.starts_with('#')) {
        match parse_line(line) {
            Some(member) => parsed.list.members.push(member),
            None => parsed.malformed.push(line.chars().take(100).collect()),
        }
    }
    if parsed.list.members.is_empty() && !parsed.malformed.is_empty() {
        return Err(parsed.malformed.swap_remove(0));
    }
    Ok(parsed)
}

fn parse_line(line: &str) -> Option<Member> {
    let mut fields = line.split_whitespace();
    let name = fields.next()?.into();
    let data_centre = fields.next()?.into();
    let link = fields.next()?.parse().ok()?;
    let state = match fields.next()? {
        "live" => MemberState::Live,
        "leaving" => MemberState::Leaving,
        _ => return None,
    };
    fields.next().is_none().then_some(Member {
        name,
        data_centre,
        link,
        state,
    })
}
