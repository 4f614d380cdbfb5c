//! Compiles this package, and no other, on the checker's primitives.

fn main() {
    println!("cargo::rustc-check-cfg=cfg(loom)");
    println!("cargo::rustc-cfg=loom");
    println!("cargo::rerun-if-changed=build.rs");
}
