/** 64-bit hashes of texts. This package loads a WebAssembly module, which code that only ranks owners does not need. */
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** 64-bit hash of a text. */
export function hashText(text: string): bigint {
	return h64(text);
}
