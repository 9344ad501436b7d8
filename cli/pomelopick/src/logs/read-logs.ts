/** Reads gateway logs from files or from a pipe. */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {EitherAsync, Left, Right} from 'purify-ts';
import type {CodedError} from '@pomelopick/core.types';
import {decodeLogLine} from './log-line.js';
import type {LogLine} from './log-line.js';

/** Maximum number of lines kept in memory; a longer log must be cut to a time range first. */
const MAX_LINES = 2_000_000;

/** Options of {@link readLogs}. */
export interface ReadLogsOptions {
	/** Paths of the files; if there are none, `input` is read. */
	readonly files: readonly string[];
	readonly input: Readable;
}

/** Result of {@link readLogs}. */
export interface ReadLogs {
	/** Decoded lines, ordered by time. */
	readonly lines: readonly LogLine[];
	/** Number of non-empty lines that are not lines of a gateway's log. */
	readonly skipped: number;
}

/** Reads all lines. Left if a file cannot be read, or if there are too many lines. */
export function readLogs({files, input}: ReadLogsOptions): EitherAsync<CodedError, ReadLogs> {
	return EitherAsync.fromPromise(async () => {
		const lines: LogLine[] = [];
		let skipped = 0;
		for (const {name, stream} of listSources({files, input})) {
			try {
				for await (const text of createInterface({input: stream, crlfDelay: Number.POSITIVE_INFINITY})) {
					const line = decodeLogLine(text);
					if (line) {
						lines.push(line);
					} else {
						skipped += Number(text.trim() !== '');
					}

					if (lines.length > MAX_LINES) {
						return Left({code: 'too-many-lines', message: `${name}: more than ${MAX_LINES} lines; cut the log to the minutes around the request first`});
					}
				}
			} catch (error) {
				return Left({code: 'unreadable-file', message: `${name}: ${(error as Error).message}`});
			}
		}

		return Right({lines: lines.sort((left, right) => left.atMs - right.atMs), skipped});
	});
}

function listSources({files, input}: ReadLogsOptions): ReadonlyArray<{readonly name: string; readonly stream: Readable}> {
	return files.length === 0 ? [{name: 'standard input', stream: input}] : files.map(name => ({name, stream: createReadStream(name)}));
}
