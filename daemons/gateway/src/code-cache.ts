/**
 * Runs the program of a bundle from V8's code cache, a file in the same folder.
 *
 * Compiling the program takes a large part of the start-up time. The engine accepts cached code only from the same version
 * with the same flags; if it rejects the cache, the program is compiled as usual. It does not notice damaged content, which ends
 * the process by a signal, so the cache is stored behind a digest of its content and of the machine's kind.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import {Script} from 'node:vm';

const DIGEST_BYTES = 32;

/** Options of {@link compileProgram}. */
export interface CompileProgramOptions {
	/** File of the program, a CommonJS module. */
	readonly path: string;
	/** Code cache, as returned by {@link Script.createCachedData}; undefined when there is none that can be used. */
	readonly compiled?: Uint8Array;
}

/** Whether the code cache was used; `refused`: the engine rejected it, because the engine or its flags differ from those it was created with or the file is damaged. */
export type CodeCacheUse = 'used' | 'refused' | 'missing';

/** A program that was started. */
export interface RunningProgram<Exports> {
	readonly exports: Exports;
	readonly codeCache: CodeCacheUse;
}

/** Path of the code cache of a program. */
function compiledPathOf(programPath: string): string {
	return `${programPath}.compiled`;
}

/** Compiles a program without running it. */
export function compileProgram({path, compiled}: CompileProgramOptions): Script {
	const source = readFileSync(path, 'utf8');
	return new Script(`(function (exports, require, module) {${source}\n})`, {filename: path, cachedData: compiled});
}

/** Runs a program, from its code cache if there is a usable one. */
export function runProgram<Exports>(path: string): RunningProgram<Exports> {
	const {content: compiled, isMissing} = readCodeCache(path);
	const script = compileProgram({path, compiled});
	const start = script.runInThisContext() as (...parts: readonly unknown[]) => void;
	const loaded = {exports: {}};
	start(loaded.exports, createRequire(path), loaded);
	return {exports: loaded.exports as Exports, codeCache: isMissing ? 'missing' : (compiled && !script.cachedDataRejected ? 'used' : 'refused')};
}

/** Writes the code cache of a program. */
export function writeCodeCache({path, content}: {readonly path: string; readonly content: Uint8Array}): void {
	writeFileSync(compiledPathOf(path), Buffer.concat([Buffer.from(digestOf(content), 'hex'), content]));
}

/** Reads the code cache of a program; no content when it is missing, damaged or of another kind of machine. */
function readCodeCache(path: string): {readonly content?: Uint8Array; readonly isMissing: boolean} {
	try {
		const file = readFileSync(compiledPathOf(path));
		const content = file.subarray(DIGEST_BYTES);
		return {content: file.toString('hex', 0, DIGEST_BYTES) === digestOf(content) ? content : undefined, isMissing: false};
	} catch (error) {
		// Without a code cache the bundle only starts more slowly.
		return {isMissing: (error as NodeJS.ErrnoException).code === 'ENOENT'};
	}
}

function digestOf(content: Uint8Array): string {
	return createHash('sha256').update(`${process.arch} ${process.version}\n`).update(content).digest('hex');
}
