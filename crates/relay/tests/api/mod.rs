//! A test bed whose relay hosts tenants, and a client of its administration API over real HTTP.
#![allow(dead_code)]

use std::time::Duration;

use serde_json::{json, Value};
use tenancy::secret::Digest;
use ureq::http::{Method, Request};
use ureq::Agent;

use crate::support::{unused_address, TestBed};

/// A response of the administration API.
#[derive(Debug)]
pub struct ApiResponse {
    pub status: u16,
    pub etag: Option<String>,
    pub body: Value,
    pub headers: ureq::http::HeaderMap,
}

impl ApiResponse {
    /// The entity tag, with its quotation marks.
    pub fn tag(&self) -> &str {
        self.etag.as_deref().expect("an ETag")
    }
}

/// A client of the API that sends a bearer token.
#[derive(Clone)]
pub struct Api {
    agent: Agent,
    address: String,
    token: Option<String>,
}

impl Api {
    pub fn new(address: &str, token: Option<&str>) -> Self {
        let config = Agent::config_builder().http_status_as_error(false);
        let config = config
            .timeout_global(Some(Duration::from_secs(60)))
            .max_idle_connections(0);
        Api {
            agent: Agent::new_with_config(config.build()),
            address: address.into(),
            token: token.map(String::from),
        }
    }

    /// Sends a request with headers and a body; `None` if no complete response arrives.
    pub fn try_send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<ApiResponse> {
        let mut request =
            Request::builder().method(Method::from_bytes(method.as_bytes()).expect("a method"));
        request = request.uri(format!("http://{}{path}", self.address));
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut response = match body {
            "" => self.agent.run(request.body(()).expect("a request")).ok()?,
            body => self
                .agent
                .run(request.body(body.to_string()).expect("a request"))
                .ok()?,
        };
        let headers = response.headers().clone();
        let etag = headers
            .get("etag")
            .and_then(|value| value.to_str().ok())
            .map(String::from);
        let text = response.body_mut().read_to_string().ok()?;
        let body = if text.is_empty() {
            Value::Null
        } else {
            serde_json::from_str(&text).expect("JSON")
        };
        Some(ApiResponse {
            status: response.status().as_u16(),
            etag,
            body,
            headers,
        })
    }

    /// Sends a request that must be answered.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ApiResponse {
        self.try_send(method, path, headers, body)
            .expect("a response")
    }

    pub fn get(&self, path: &str) -> ApiResponse {
        self.send("GET", path, &[], "")
    }

    pub fn create(&self, name: &str, spec: Value) -> ApiResponse {
        let body = json!({"name": name, "spec": spec}).to_string();
        self.send(
            "POST",
            "/v1/tenants",
            &[("content-type", "application/json")],
            &body,
        )
    }

    pub fn patch(&self, name: &str, tag: &str, spec: Value) -> Option<ApiResponse> {
        let headers = [
            ("content-type", "application/merge-patch+json"),
            ("if-match", tag),
        ];
        let body = json!({"spec": spec}).to_string();
        self.try_send("PATCH", &format!("/v1/tenants/{name}"), &headers, &body)
    }

    /// Sends a change that applies to any version of the tenant.
    pub fn change(&self, method: &str, path: &str) -> ApiResponse {
        self.send(
            method,
            &format!("/v1/tenants/{path}"),
            &[("if-match", "*")],
            "",
        )
    }

    pub fn usage(&self, name: &str) -> Value {
        self.get(&format!("/v1/tenants/{name}/usage")).body
    }
}

/// Name, role and tenant scope of the tokens in the operator file. The secret of a token is its name twice.
const TOKENS: &[(&str, &str, &str)] = &[
    ("root", "admin", "*"),
    ("ops", "operator", "*"),
    ("eyes", "viewer", "*"),
    ("team", "admin", "team-*"),
];

/// The secret of a token.
pub fn token(name: &str) -> String {
    format!("{name}{name}")
}

/// The operator file, with the tokens and further lines for the sections `[tenants]` and `[admin]`.
pub fn operator(test_bed: &TestBed, address: &str, tenants: &str, admin: &str) -> String {
    let folder = test_bed.folder.join("tenants");
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut text = format!(
        "[tenants]\nfolder = {:?}\n{tenants}\n",
        folder.display().to_string()
    );
    text += &format!("[admin]\nlisten = \"{address}\"\nrequests_per_second = 10000\n{admin}\n");
    for (name, role, scope) in TOKENS {
        let sha256 = Digest::of(token(name).as_bytes());
        text += &format!(
            "[[admin.tokens]]\nname = \"{name}\"\nrole = \"{role}\"\nsha256 = \"{sha256}\"\ntenants = [\"{scope}\"]\n"
        );
    }
    text
}

/// Prepares a relay that hosts tenants, without starting it; returns it with the address of its API.
pub fn new_with_tenants(hosts: Vec<Value>, tenants: &str, admin: &str) -> (TestBed, String) {
    let mut test_bed = TestBed::new(hosts);
    let address = unused_address().to_string();
    test_bed.operator = Some(operator(&test_bed, &address, tenants, admin));
    (test_bed, address)
}

/// Starts a relay that hosts tenants; returns it with a client of its API that has the administrator's token.
pub fn started(hosts: Vec<Value>, tenants: &str) -> (TestBed, Api) {
    let (mut test_bed, address) = new_with_tenants(hosts, tenants, "");
    test_bed.start();
    (test_bed, Api::new(&address, Some(&token("root"))))
}
