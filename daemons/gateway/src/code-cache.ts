/**
 * The program of a bundle, kept beside what the engine compiled of it.
 *
 * Compiling the program anew takes a good part of a start. The engine takes compiled code only from the same version
 * with the same flags; where it refuses, the program is compiled as usual.
 */
import {existsSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {Script} from 'node:vm';

/** Options of {@link compileProgram}. */
export interface CompileProgramOptions {
	/** File of the program, a CommonJS module. */
	readonly path: string;
	/** Compiled code, as {@link Script.createCachedData} gave it; undefined: none. */
	readonly compiled?: Uint8Array;
}

/** Whether compiled code was used: `refused` where the engine or its flags differ from those that it was made with. */
export type CodeCacheUse = 'used' | 'refused' | 'missing';

/** A program that runs. */
export interface RunningProgram<Exports> {
	readonly exports: Exports;
	readonly codeCache: CodeCacheUse;
}

/** Path of the compiled code of a program. */
export function compiledPathOf(programPath: string): string {
	return `${programPath}.compiled`;
}

/** Compiles a program without running it. */
export function compileProgram({path, compiled}: CompileProgramOptions): Script {
	const source = readFileSync(path, 'utf8');
	return new Script(`(function (exports, require, module) {${source}\n})`, {filename: path, cachedData: compiled});
}

/** Runs a program from its compiled code. */
export function runProgram<Exports>(path: string): RunningProgram<Exports> {
	const compiledPath = compiledPathOf(path);
	// A bundle without compiled code starts more slowly, and does all else.
	const compiled = existsSync(compiledPath) ? readFileSync(compiledPath) : undefined;
	const script = compileProgram({path, compiled});
	const start = script.runInThisContext() as (...parts: readonly unknown[]) => void;
	const loaded = {exports: {}};
	start(loaded.exports, createRequire(path), loaded);
	return {exports: loaded.exports as Exports, codeCache: compiled ? (script.cachedDataRejected ? 'refused' : 'used') : 'missing'};
}
