//! Parsing of the command line.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use base::WorkspaceId;
use lexopt::{Arg, Parser, ValueExt};
use peering::ExplainQuery;

/// Exit code for invalid arguments.
pub const USAGE_ERROR: u8 = 2;

/// A parsed command with its arguments.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Run an entry.
    Entry { settings: PathBuf },
    /// Run an agent.
    Agent { settings: PathBuf },
    /// Run a process on the users' platform.
    Platform { role: PlatformRole, settings: Option<PathBuf> },
    /// Check a settings file of the users' platform.
    CheckPlatform { settings: PathBuf },
    /// Check a settings file.
    CheckSettings { settings: PathBuf },
    /// Check a manifest.
    CheckManifest { manifest: PathBuf },
    /// Print the placement that a manifest would get.
    Plan { manifest: PathBuf, vms: PathBuf, json: bool },
    /// Print the state of a process.
    Status(Target),
    /// Print the audit trail of a process.
    Audit { target: Target, follow: bool },
    /// Print where a gateway would send a request.
    Explain(Question),
    /// Print a text, such as the help.
    Print(String),
}

/// Kinds of processes on the users' platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRole {
    /// The process that receives the callers' requests.
    Gateway,
    /// The process that runs next to an endpoint.
    Stager,
}

impl PlatformRole {
    /// Name of the command that runs it.
    pub fn as_str(self) -> &'static str {
        match self {
            PlatformRole::Gateway => "gateway",
            PlatformRole::Stager => "stager",
        }
    }
}

/// A running process to query, and how to print the result.
#[derive(Debug, PartialEq)]
pub struct Target {
    /// Its control address.
    pub addr: SocketAddr,
    /// Settings file with the peer key; without it the key comes from the environment.
    pub settings: Option<PathBuf>,
    /// Print JSON.
    pub json: bool,
}

/// What to ask a gateway.
#[derive(Debug, PartialEq)]
pub struct Question {
    /// The gateway's address for other processes.
    pub addr: SocketAddr,
    /// The request in question.
    pub query: ExplainQuery,
    /// Print JSON.
    pub json: bool,
}

#[derive(Default)]
struct Options {
    settings: Option<PathBuf>,
    manifest: Option<PathBuf>,
    vms: Option<PathBuf>,
    node: Option<PathBuf>,
    at: Option<SocketAddr>,
    host: Option<String>,
    path: Option<String>,
    key: Option<String>,
    workspace: Option<WorkspaceId>,
    tokens: Option<(u32, u32)>,
    json: bool,
    follow: bool,
    help: bool,
}

const HELP: &str = "\
Puts model weights onto many VMs at once and serves requests through the change.

Usage: carawaypaddle COMMAND [OPTIONS]

Commands:
  entry   Run an entry, beside the callers
  agent   Run an agent, beside one endpoint
  gateway Run the process that callers reach on the users' platform
  stager  Run the process beside an endpoint on the users' platform
  check   Check a settings file or a manifest
  plan    Print which VM would serve what
  status  Print the state of a running process
  audit   Print the audit trail of a running process
  explain Print where a running gateway would send a request, and why

Options:
  --help     Print help; after a command, help for it
  --version  Print the version
";

const COMMANDS: [(&str, &str); 9] = [
    (
        "entry",
        "Usage: carawaypaddle entry --settings FILE\n\nRuns an entry until SIGTERM, then drains.\n",
    ),
    (
        "agent",
        "Usage: carawaypaddle agent --settings FILE\n\nRuns an agent until SIGTERM, then drains.\n",
    ),
    (
        "gateway",
        "Usage: carawaypaddle gateway [--node FILE]\n\n\
         Runs the process that callers reach on the users' platform, until SIGTERM. Without FILE the\n\
         platform's environment variable names the settings.\n",
    ),
    (
        "stager",
        "Usage: carawaypaddle stager [--node FILE]\n\n\
         Runs the process beside an endpoint on the users' platform, until SIGTERM. Without FILE the\n\
         platform's environment variable names the settings.\n",
    ),
    (
        "check",
        "Usage: carawaypaddle check --settings FILE | --manifest FILE | --node FILE\n\n\
         Prints one line if the file is good, else each error with its key and remedy; exits 1.\n",
    ),
    (
        "plan",
        "Usage: carawaypaddle plan --manifest FILE --vms FILE [--json]\n\n\
         Prints which VM would serve what and each workspace's share.\n",
    ),
    (
        "status",
        "Usage: carawaypaddle status --at ADDR [--settings FILE] [--json]\n\n\
         Asks a running process. The peer key comes from the settings file or from the environment\n\
         variable CARAWAYPADDLE_PEER_KEY.\n",
    ),
    (
        "audit",
        "Usage: carawaypaddle audit --at ADDR [--follow] [--settings FILE] [--json]\n\n\
         Asks a running process. The peer key comes from the settings file or from the environment\n\
         variable CARAWAYPADDLE_PEER_KEY.\n",
    ),
    (
        "explain",
        "Usage: carawaypaddle explain --at ADDR --host HOST --path PATH\n\
         \x20                            [--key KEY | --workspace NAME] [--tokens PROMPT,ANSWER] [--json]\n\n\
         Asks a running gateway where it would send a request now, and why; sends none. ADDR is the\n\
         gateway's address for other processes: its IP address and the first internal port.\n",
    ),
];

/// Parses the command line.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, String> {
    let mut parser = Parser::from_iter(args);
    let first = parser.next().map_err(|err| with_hint(&err.to_string(), None))?;
    let name = match first {
        None => return Err(with_hint("a command is missing", None)),
        Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Command::Print(HELP.to_owned())),
        Some(Arg::Long("version") | Arg::Short('V')) => {
            return Ok(Command::Print(format!("carawaypaddle {}\n", env!("CARGO_PKG_VERSION"))));
        }
        Some(Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(other) => return Err(with_hint(&other.unexpected().to_string(), None)),
    };
    let Some((_, help)) = COMMANDS.iter().find(|(command, _)| *command == name) else {
        return Err(with_hint(&format!("command {name:?} does not exist"), None));
    };
    let options = options(&mut parser).map_err(|err| with_hint(&err.to_string(), Some(&name)))?;
    if options.help {
        return Ok(Command::Print((*help).to_owned()));
    }
    command(&name, options).map_err(|err| with_hint(&err, Some(&name)))
}

fn options(parser: &mut Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => options.settings = Some(parser.value()?.into()),
            Arg::Long("manifest") => options.manifest = Some(parser.value()?.into()),
            Arg::Long("node") => options.node = Some(parser.value()?.into()),
            Arg::Long("vms") => options.vms = Some(parser.value()?.into()),
            Arg::Long("at") => options.at = Some(parser.value()?.parse()?),
            Arg::Long("host") => options.host = Some(parser.value()?.string()?),
            Arg::Long("path") => options.path = Some(parser.value()?.string()?),
            Arg::Long("key") => options.key = Some(parser.value()?.string()?),
            Arg::Long("workspace") => options.workspace = Some(parser.value()?.parse()?),
            Arg::Long("tokens") => options.tokens = Some(parser.value()?.parse_with(parse_tokens)?),
            Arg::Long("json") => options.json = true,
            Arg::Long("follow") => options.follow = true,
            Arg::Long("help") | Arg::Short('h') => options.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

/// Parses numbers of prompt and answer tokens.
fn parse_tokens(text: &str) -> Result<(u32, u32), &'static str> {
    let tokens = text.split_once(',').and_then(|(prompt, answer)| {
        Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
    });
    tokens.ok_or("give two whole numbers, such as 800,200")
}

fn question(options: Options) -> Result<Question, String> {
    let Options { at, host, path, key, workspace, tokens, json, .. } = options;
    if key.is_some() && workspace.is_some() {
        return Err("give either --key KEY or --workspace NAME".to_owned());
    }
    let path = path.ok_or("option --path PATH is missing")?;
    if !path.starts_with('/') {
        return Err(format!("path {path:?} does not begin with a slash"));
    }
    let host = host.ok_or("option --host HOST is missing")?;
    let query = ExplainQuery { host, path, key, workspace, tokens };
    Ok(Question { addr: at.ok_or("option --at ADDR is missing")?, query, json })
}

fn command(name: &str, options: Options) -> Result<Command, String> {
    if name == "explain" {
        return Ok(Command::Explain(question(options)?));
    }
    let Options { settings, manifest, vms, node, at, json, follow, .. } = options;
    let require = |file: Option<PathBuf>, option: &str| {
        file.ok_or_else(|| format!("option {option} FILE is missing"))
    };
    let target = |settings| {
        let at = at.ok_or("option --at ADDR is missing")?;
        Ok::<_, String>(Target { addr: at, settings, json })
    };
    match name {
        "entry" => Ok(Command::Entry { settings: require(settings, "--settings")? }),
        "agent" => Ok(Command::Agent { settings: require(settings, "--settings")? }),
        "gateway" => Ok(Command::Platform { role: PlatformRole::Gateway, settings: node }),
        "stager" => Ok(Command::Platform { role: PlatformRole::Stager, settings: node }),
        "check" => match (settings, manifest, node) {
            (Some(settings), None, None) => Ok(Command::CheckSettings { settings }),
            (None, Some(manifest), None) => Ok(Command::CheckManifest { manifest }),
            (None, None, Some(settings)) => Ok(Command::CheckPlatform { settings }),
            _ => Err("give either --settings FILE or --manifest FILE or --node FILE".to_owned()),
        },
        "plan" => {
            let manifest = require(manifest, "--manifest")?;
            Ok(Command::Plan { manifest, vms: require(vms, "--vms")?, json })
        }
        "status" => Ok(Command::Status(target(settings)?)),
        _ => Ok(Command::Audit { target: target(settings)?, follow }),
    }
}

fn with_hint(err: &str, command: Option<&str>) -> String {
    let command = command.map(|c| format!(" {c}")).unwrap_or_default();
    format!("{err}\nTry: carawaypaddle{command} --help")
}

#[cfg(test)]
mod tests;
