//! The text of requests.

/// Size of the bodies of hostile clients, in bytes.
pub(crate) const BODY_BYTES: usize = 65_000;
/// Volume and object of a request.
const VOLUME: &str = "00000000000000aa/00000000000000bb";

/// Names that the target's settings know.
#[derive(Clone, Debug)]
pub struct Target {
    /// Class of reads.
    pub read_class: String,
    /// Class of writes.
    pub write_class: String,
    /// Plan of the requests.
    pub plan: String,
    /// Shard of the requests.
    pub shard: u32,
}

impl Target {
    /// A read with this much time.
    pub(crate) fn read(&self, id: &str, timeout_ms: u32) -> String {
        self.request("GET", &self.read_class, VOLUME, id, timeout_ms, "")
    }

    /// A read with this much time, of a volume and an object of their own.
    pub(crate) fn read_elsewhere(&self, number: u64, id: &str, timeout_ms: u32) -> String {
        self.request("GET", &self.read_class, &format!("{number:016x}/{number:016x}"), id, timeout_ms, "")
    }

    /// The head of a write with a body of [`BODY_BYTES`].
    pub(crate) fn write_head(&self, id: &str, timeout_ms: u32) -> String {
        let fields = format!("Idempotency-Key: {id}\r\nContent-Length: {BODY_BYTES}\r\n");
        self.request("PUT", &self.write_class, VOLUME, id, timeout_ms, &fields)
    }

    /// A read of a class that the target does not know.
    pub(crate) fn unknown_class(&self, id: &str) -> String {
        self.request("GET", &format!("class-{id}"), VOLUME, id, 1000, "")
    }

    fn request(
        &self,
        method: &str,
        class: &str,
        volume: &str,
        id: &str,
        timeout_ms: u32,
        fields: &str,
    ) -> String {
        let (plan, shard) = (&self.plan, self.shard);
        format!(
            "{method} /{class}/{volume} HTTP/1.1\r\nHost: gateway\r\n\
             X-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Plan: {plan}\r\n\
             X-Timeout-Ms: {timeout_ms}\r\nX-IO: units=1,shard={shard},hosts=1\r\n{fields}\r\n"
        )
    }
}
