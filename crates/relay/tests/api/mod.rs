//! A scene whose relay hosts tenants, and its administration API through a real HTTP client.
#![allow(dead_code)]

use std::time::Duration;

use serde_json::{json, Value};
use tenancy::secret::Digest;
use ureq::http::{Method, Request};
use ureq::Agent;

use crate::scene::{bind, Scene};

/// An answer.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub etag: Option<String>,
    pub body: Value,
    pub headers: ureq::http::HeaderMap,
}

impl Reply {
    /// The version in the entity tag, with its quotes.
    pub fn tag(&self) -> &str {
        self.etag.as_deref().expect("an ETag")
    }
}

/// The API as the bearer of a token sees it.
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

    /// A request with headers and a body; none where no answer came.
    pub fn try_ask(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
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
        Some(Reply {
            status: response.status().as_u16(),
            etag,
            body,
            headers,
        })
    }

    pub fn ask(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        self.try_ask(method, path, headers, body)
            .expect("an answer")
    }

    pub fn get(&self, path: &str) -> Reply {
        self.ask("GET", path, &[], "")
    }

    pub fn create(&self, name: &str, spec: Value) -> Reply {
        let body = json!({"name": name, "spec": spec}).to_string();
        self.ask(
            "POST",
            "/v1/tenants",
            &[("content-type", "application/json")],
            &body,
        )
    }

    pub fn patch(&self, name: &str, tag: &str, spec: Value) -> Option<Reply> {
        let headers = [
            ("content-type", "application/merge-patch+json"),
            ("if-match", tag),
        ];
        let body = json!({"spec": spec}).to_string();
        self.try_ask("PATCH", &format!("/v1/tenants/{name}"), &headers, &body)
    }

    /// A change of whatever state the tenant is in.
    pub fn change(&self, method: &str, path: &str) -> Reply {
        self.ask(
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

/// The tokens of the operator file: the secret is the name twice.
const TOKENS: &[(&str, &str, &str)] = &[
    ("root", "admin", "*"),
    ("ops", "operator", "*"),
    ("eyes", "viewer", "*"),
    ("team", "admin", "team-*"),
];

pub fn token(name: &str) -> String {
    format!("{name}{name}")
}

/// The operator file, with tokens and more lines for each section.
pub fn operator(scene: &Scene, address: &str, tenants: &str, admin: &str) -> String {
    let folder = scene.folder.join("tenants");
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

/// A scene whose relay hosts tenants, not started yet, and where its API listens.
pub fn hosted(known: Vec<Value>, tenants: &str, admin: &str) -> (Scene, String) {
    let mut scene = Scene::new(known);
    let address = bind().local_addr().expect("bound").to_string();
    scene.operator = Some(operator(&scene, &address, tenants, admin));
    (scene, address)
}

/// The same, started, with the API as its administrator sees it.
pub fn started(known: Vec<Value>, tenants: &str) -> (Scene, Api) {
    let (mut scene, address) = hosted(known, tenants, "");
    scene.start();
    (scene, Api::new(&address, Some(&token("root"))))
}
