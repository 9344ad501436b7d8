/** Shared by all commands: exit codes, output, and parsing of endpoints and counts. */
import {isIP} from 'node:net';
import {Command, Option} from 'clipanion';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CodedError, Endpoint} from '@pomelopick/core.types';

/** Exit codes of all commands. */
export const exitCodes = {
	success: 0,
	/** The request was valid but refused, or a check failed. */
	refused: 1,
	/** A flag, a file or a setting is invalid. */
	usage: 2,
	/** The store or an instance does not respond. */
	unavailable: 3,
	/** A write may or may not have taken effect. */
	undecided: 4,
} as const;

/** A command with `--json` and the helpers that all commands use. */
export abstract class PomelopickCommand extends Command {
	json = Option.Boolean('--json', false, {description: 'Print one JSON document instead of text'});

	/** Prints the document if `--json` is given, otherwise the text. */
	protected print({document, text}: {readonly document: unknown; readonly text: string}): void {
		this.context.stdout.write(`${this.json ? JSON.stringify(document) : text}\n`);
	}

	/** Prints the progress of a slow operation to standard error; prints nothing with `--json`. */
	protected progress(line: string): void {
		if (!this.json) {
			this.context.stderr.write(`${line}\n`);
		}
	}

	/** Prints an error and returns the exit code. */
	protected fail({error, exitCode}: {readonly error: CodedError; readonly exitCode: number}): number {
		this.context.stderr.write(`${this.json ? JSON.stringify({error}) : `${error.code}: ${error.message}`}\n`);
		return exitCode;
	}
}

/** Options of {@link parseEndpoint}. */
export interface ParseEndpointOptions {
	readonly flag: string;
	readonly text: string;
}

const ENDPOINT_PATTERN = /^(?:\[(?<ipv6>[^\]]+)\]|(?<ipv4>[^:]+)):(?<port>\d{1,5})$/u;
const MAX_PORT = 65_535;

/** Parses `IP:PORT` or `[IPV6]:PORT`. */
export function parseEndpoint({flag, text}: ParseEndpointOptions): Either<CodedError, Endpoint> {
	const {ipv4, ipv6, port} = ENDPOINT_PATTERN.exec(text)?.groups ?? {};
	const address = ipv4 ?? ipv6 ?? '';
	if (isIP(address) === 0 || Number(port) > MAX_PORT) {
		return Left({code: 'bad-flag', message: `${flag}: expected IP:PORT, found ${JSON.stringify(text)}`});
	}

	return Right({address, port: Number(port)});
}

/** Options of {@link parseCount}. */
export interface ParseCountOptions {
	readonly flag: string;
	readonly text: string;
	readonly max: number;
}

/** Parses a whole number from 1 up to a limit. */
export function parseCount({flag, text, max}: ParseCountOptions): Either<CodedError, number> {
	const count = Number(text);
	return /^\d+$/u.test(text) && count >= 1 && count <= max
		? Right(count)
		: Left({code: 'bad-flag', message: `${flag}: expected a whole number from 1 to ${max}, found ${JSON.stringify(text)}`});
}
