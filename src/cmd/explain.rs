//! `carawaypaddle explain`.

use std::time::Duration;

use anyhow::{Context, bail};
use peering::{ExplainAnswer, ExplainedDecision, ExplainedEndpoint, ExplainedService, PeerRequest};
use ureq::Agent;

use crate::cli::Question;

/// Maximum time until the gateway has answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks a gateway where it would send a request, and prints the answer.
pub fn run(question: &Question) -> anyhow::Result<()> {
    let answer = ask(question)?;
    if question.json {
        println!("{}", serde_json::to_string_pretty(&answer)?);
    } else {
        print_text(&answer);
    }
    Ok(())
}

fn ask(question: &Question) -> anyhow::Result<ExplainAnswer> {
    let addr = question.addr;
    let config = Agent::config_builder()
        .timeout_global(Some(ANSWER_TIMEOUT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    let url = format!("http://{addr}{}", PeerRequest::Explain.path());
    let response = Agent::new_with_config(config).post(&url).send_json(&question.query);
    let mut response = response.with_context(|| {
        format!("{addr}: no response; check that it is the gateway's address for other processes")
    })?;
    let text =
        response.body_mut().read_to_string().with_context(|| format!("{addr}: no answer"))?;
    match response.status().as_u16() {
        200 => serde_json::from_str(&text)
            .with_context(|| format!("{addr}: unknown answer; compare the versions")),
        400 => bail!("{addr}: {text}"),
        status => bail!("{addr}: status {status}; this process is no gateway that explains"),
    }
}

fn print_text(answer: &ExplainAnswer) {
    let workspace = answer.workspace.as_ref().map_or("-", |workspace| workspace.as_str());
    println!("zone       {}", answer.zone);
    println!("config     version {}", answer.config);
    println!("route      {}", answer.route);
    println!("workspace  {workspace}");
    answer.services.iter().for_each(print_service);
}

fn print_service(service: &ExplainedService) {
    let decision = match &service.decision {
        ExplainedDecision::Send { endpoint } => format!("sent to {endpoint}"),
        ExplainedDecision::Wait => "waits".to_owned(),
        ExplainedDecision::Refuse { reason, retry_after_ms } => {
            format!("refused: {reason}; retry after {retry_after_ms} ms")
        }
    };
    println!("\nservice {}, weight {}: {decision}", service.service, service.weight);
    println!(
        "{:<24} {:<12} {:>11} {:>9} {:>11} {:>10}  NOTE",
        "ENDPOINT", "ZONE", "EXPECTED MS", "COST MS", "DISTANCE MS", "FAILURE MS"
    );
    service.endpoints.iter().for_each(print_endpoint);
}

fn print_endpoint(endpoint: &ExplainedEndpoint) {
    let (id, zone, note) = (&endpoint.id, endpoint.zone.as_str(), note(endpoint));
    match &endpoint.suitability {
        Some(s) => println!(
            "{id:<24} {zone:<12} {:>11.1} {:>9.1} {:>11.1} {:>10.1}  {note}",
            s.expected_ms, s.cost_ms, s.distance_ms, s.failure_ms
        ),
        None => {
            println!("{id:<24} {zone:<12} {:>11} {:>9} {:>11} {:>10}  {note}", "-", "-", "-", "-")
        }
    }
}

/// What keeps an endpoint from getting the request, if anything does.
fn note(endpoint: &ExplainedEndpoint) -> String {
    if let Some(excluded) = &endpoint.excluded {
        return format!("excluded: {excluded}");
    }
    match &endpoint.suitability {
        Some(s) if !s.has_token => "limit used up".to_owned(),
        Some(s) if !s.meets_objective => "misses the objective".to_owned(),
        _ => String::new(),
    }
}
