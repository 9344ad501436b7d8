/** Schemas and loaders of the settings files. */
export * from './settings.js';
export * from './gateway-settings.js';
