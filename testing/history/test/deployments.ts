/** A deployment that is small enough for one test. */
import {hebrides} from '@pomelopick/testing.fleet';
import type {Deployment} from '@pomelopick/testing.fleet';

/** Hebrides with the ledger alone, on six servers. */
export const smallHebrides: Deployment = {
	...hebrides,
	services: hebrides.services.filter(({name}) => name === 'ledger').map(service => ({...service, servers: 6})),
};
