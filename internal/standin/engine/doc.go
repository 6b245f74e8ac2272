// Package engine is a stub (stand-in) of a language-model engine: its HTTP
// interface behaves like that of a vLLM server, as far as a router and an agent
// can observe it.
//
// It imitates, after vLLM's published documentation:
//
//   - the OpenAI-compatible server: /v1/chat/completions, /v1/completions and
//     /v1/models, streamed as server-sent events that end with "[DONE]", usage
//     with stream_options.include_usage, the X-Request-Id header, the "priority"
//     field (a lower value is served earlier), continue_final_message with
//     add_generation_prompt to continue a partial answer, and error bodies;
//   - continuous batching: one decode step advances every running sequence by
//     one token, waiting ones are admitted between steps, prefill is chunked
//     and shares the steps with decoding, and the step time grows with the
//     number of running sequences;
//   - automatic prefix caching in blocks, with the least recently used evicted;
//   - preemption by recomputation, when KV memory runs out and, with priority
//     scheduling, for a waiting sequence of higher priority;
//   - KV-cache events (BlockStored, BlockRemoved, AllBlocksCleared) with
//     sequence numbers, published with a delay and with some missing;
//   - aborting a request whose client disconnects.
//
// The other endpoints (/load, /events, /kv/export, /kv/import, /orders,
// /abort) have formats specific to this package; the platform's engines offer
// equivalents. /control/ holds fault injection for experiments and has no
// counterpart in a real engine: it also answers while the engine is crashed or
// paused.
//
// Where the stub differs from a real engine:
//
//   - The answer is a deterministic function of model, prompt and seed, and the
//     same on every engine, so that a resumed answer can be compared byte by
//     byte with the uninterrupted one. A resumed text that isn't the beginning
//     of that answer is refused with status 400 and counted.
//   - A completion is resumed with the field resume_from_tokens: the prompt is
//     the original one and, after it, that many tokens of the answer. Every
//     answer begins with a reference made from its prompt, by which the engine
//     finds the end of the prompt.
//   - Tokens of a prompt are counted as four bytes each. The text "[[tokens=N]]"
//     in a prompt fixes the answer's natural length.
//   - A crash closes idle connections at their next request, not immediately.
//   - The effects of orders, the fencing number and imported KV caches are kept
//     in memory only and are lost in a crash.
//
// Left out: sampling parameters, logprobs, tools, several choices, images,
// speculative decoding, tensor parallelism, and authentication.
package engine
