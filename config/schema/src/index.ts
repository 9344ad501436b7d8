/** Schema and cross-checks of a configuration set. */
export {checkConfigurationSet} from './check.js';
export {checkObjects} from './check-objects.js';
export type {CheckObjectsOptions} from './check-objects.js';
export {formatFault, type ConfigurationFault} from './fault.js';
export {parsePrefix, type ParsedPrefix} from './prefix.js';
export {configurationJsonSchema, configurationSetSchema, type ConfigurationSetInput} from './schema.js';
