/** Writes the compiled code of the program that the command line names, all functions included; a part of the build. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {compiledPathOf, compileProgram} from './code-cache.js';

const programPath = process.argv[2]!;
// By default a function is compiled when it is first called, and only what was compiled is kept.
setFlagsFromString('--no-lazy');
const script = compileProgram({path: programPath});
// Compiled code is refused where the flags differ from those with which it was kept.
setFlagsFromString('--lazy');
writeFileSync(compiledPathOf(programPath), script.createCachedData());
