/** Part of the build: writes the code cache, including all functions, of the program whose path is given on the command line. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {compileProgram, writeCodeCache} from './code-cache.js';

const programPath = process.argv[2]!;
// By default, functions are compiled at their first call, and the cache contains only compiled functions.
setFlagsFromString('--no-lazy');
const script = compileProgram({path: programPath});
// The flag is restored before the cache is created, because the engine rejects a cache that was created with other flags.
setFlagsFromString('--lazy');
writeCodeCache({path: programPath, content: script.createCachedData()});
