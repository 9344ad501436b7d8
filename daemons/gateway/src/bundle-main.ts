/** Entry point of the bundle: runs the program that lies beside it from its compiled code. */
import path from 'node:path';
import process from 'node:process';
import {runProgram} from './code-cache.js';
import {keepSignals} from './early-signals.js';
import type * as RunGateway from './run-gateway.js';

// Loading the rest takes a while, in which a signal would end the process.
const onSignal = keepSignals();
const {exports: {runGateway}, codeCache} = runProgram<typeof RunGateway>(path.join(path.dirname(process.argv[1]!), 'program.cjs'));
void runGateway({onSignal, codeCache});
