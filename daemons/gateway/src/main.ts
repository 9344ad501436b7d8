/** Runs one gateway. SIGTERM and SIGINT stop it gracefully; SIGHUP or a change of the settings file makes it reload the settings. */
import {keepSignals} from './early-signals.js';

// Signals are caught before the rest is loaded: loading takes a while, and an uncaught signal would end the process.
const onSignal = keepSignals();
const {runGateway} = await import('./run-gateway.js');
await runGateway({onSignal});
