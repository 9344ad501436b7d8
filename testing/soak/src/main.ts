/** Runs the soak from a shell. */
import process from 'node:process';
import {Cli} from 'clipanion';
import {SoakCommand} from './command.js';

const cli = new Cli({binaryName: 'soak', binaryLabel: 'Soak of pomelopick'});
cli.register(SoakCommand);
process.exitCode = await cli.run(process.argv.slice(2), {stdin: process.stdin, stdout: process.stdout, stderr: process.stderr});
process.exit();
