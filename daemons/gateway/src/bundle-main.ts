/** Entry point of the bundle: runs the program in the same folder, from its code cache if there is a usable one. */
import path from 'node:path';
import process from 'node:process';
import {runProgram} from './code-cache.js';
import {keepSignals} from './early-signals.js';
import type * as RunGateway from './run-gateway.js';

// Signals are caught before the rest is loaded: loading takes a while, and an uncaught signal would end the process.
const onSignal = keepSignals();
const {exports: {runGateway}, codeCache} = runProgram<typeof RunGateway>(path.join(path.dirname(process.argv[1]!), 'program.cjs'));
void runGateway({onSignal, codeCache});
