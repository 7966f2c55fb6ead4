//! Parses the text of the host list.

use mustardtiller_core::HostList;
use mustardtiller_core::Member;
use mustardtiller_core::MemberState;

/// Parse a host list: one `NAME PLACE ADDRESS live|leaving` per line.
///
/// # Errors
///
/// Returns the first malformed line, cut to 100 characters. One malformed line
/// rejects the whole list.
///
/// # Examples
///
/// ```
/// use mustardtiller::parse_hosts;
///
/// let list = parse_hosts("katalog-1 jadran-a 127.0.0.1:9001 live\n").unwrap();
/// assert_eq!(list.members.len(), 1);
/// ```
pub fn parse_hosts(text: &str) -> Result<HostList, String> {
    let lines = text.lines().map(str::trim);
    let members = lines
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| parse_line(line).ok_or_else(|| line.chars().take(100).collect()))
        .collect::<Result<Vec<Member>, String>>()?;
    Ok(HostList { members })
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
