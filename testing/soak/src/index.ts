/** Runs long mixes of faults against fleets and checks the histories. */
export * from './mix.js';
export * from './soak.js';
