.PHONY: test ci demo lint measure soak

test:
	cargo test --workspace

ci:
	bash .ci/run

demo:
	./demo

lint:
	cargo fmt --all --check && ci/style && cargo clippy --workspace --all-targets -- -D warnings

measure:
	./measure

soak:
	cargo build --release --workspace --bins
	target/release/mustardtiller-soak --seeds 5
