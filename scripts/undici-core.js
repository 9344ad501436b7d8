// The parts of undici that the gateway uses.
export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
export {default as DecoratorHandler} from 'undici/lib/handler/decorator-handler.js';
export {default as errors} from 'undici/lib/core/errors.js';
