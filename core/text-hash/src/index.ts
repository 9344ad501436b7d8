/** 64-bit hashes of texts. They load a WebAssembly module; what only ranks owners does without. */
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** 64-bit hash of a text. */
export function hashText(text: string): bigint {
	return h64(text);
}
