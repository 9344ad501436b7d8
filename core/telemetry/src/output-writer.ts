/** Writes lines to a file descriptor without blocking the process when its reader is slow. */
import sonicBoom from 'sonic-boom';

const {SonicBoom} = sonicBoom;

/** Maximum number of bytes buffered for the reader; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Number of buffered bytes that triggers a write, and the maximum time until a write, in milliseconds. */
const FLUSH_BYTES = 8192;
const FLUSH_INTERVAL_MS = 250;

/** A non-blocking writer of lines. */
export interface OutputWriter {
	/** Accepts a line; returns false when it was dropped. */
	readonly write: (line: string) => boolean;
	/** Writes the buffered bytes, as far as the operating system accepts them at once. */
	readonly flush: () => void;
}

/** Creates a writer on a file descriptor. */
export function createOutputWriter({descriptor}: {readonly descriptor: number}): OutputWriter {
	const output = new SonicBoom({
		fd: descriptor, sync: false, minLength: FLUSH_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_INTERVAL_MS,
	});
	let isDropped = false;
	output.on('drop', () => {
		isDropped = true;
	});
	// Without a reader there is no way to report the error.
	output.on('error', () => {
		isDropped = true;
	});
	return {
		write(line) {
			isDropped = false;
			output.write(line);
			return !isDropped;
		},
		flush() {
			output.flush();
		},
	};
}
