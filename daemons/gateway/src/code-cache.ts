/**
 * Runs the program of a bundle from V8's code cache, a file in the same folder.
 *
 * Compiling the program takes a large part of the start-up time. The engine accepts cached code only from the same version
 * with the same flags; if it rejects the cache, the program is compiled as usual.
 */
import {existsSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {Script} from 'node:vm';

/** Options of {@link compileProgram}. */
export interface CompileProgramOptions {
	/** File of the program, a CommonJS module. */
	readonly path: string;
	/** Code cache, as returned by {@link Script.createCachedData}; undefined when there is none. */
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
export function compiledPathOf(programPath: string): string {
	return `${programPath}.compiled`;
}

/** Compiles a program without running it. */
export function compileProgram({path, compiled}: CompileProgramOptions): Script {
	const source = readFileSync(path, 'utf8');
	return new Script(`(function (exports, require, module) {${source}\n})`, {filename: path, cachedData: compiled});
}

/** Runs a program, from its code cache if there is a usable one. */
export function runProgram<Exports>(path: string): RunningProgram<Exports> {
	const compiledPath = compiledPathOf(path);
	// Without a code cache the bundle only starts more slowly.
	const compiled = existsSync(compiledPath) ? readFileSync(compiledPath) : undefined;
	const script = compileProgram({path, compiled});
	const start = script.runInThisContext() as (...parts: readonly unknown[]) => void;
	const loaded = {exports: {}};
	start(loaded.exports, createRequire(path), loaded);
	return {exports: loaded.exports as Exports, codeCache: compiled ? (script.cachedDataRejected ? 'refused' : 'used') : 'missing'};
}
