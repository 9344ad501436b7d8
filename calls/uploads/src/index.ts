/** Reserves the bytes of uploads to backend servers at the owners of quota shards, for all instances together. */
export * from './fleet-uploads.js';
export * from './upload-client.js';
export * from './upload-listeners.js';
export * from './upload-messages.js';
export * from './upload-use.js';
