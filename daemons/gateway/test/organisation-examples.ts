/** Organisations of the tests and their keys. */
import type {FleetOrganisation} from '@pomelopick/testing.gateway-fleet';

export const LONG_KEY = `long-${'k'.repeat(8187)}`;
export const FIRST_KEY = 'secret-of-first';
export const SECOND_KEY = 'secret-of-second';

export const first: FleetOrganisation = {name: 'first', keys: [FIRST_KEY, LONG_KEY]};
export const second: FleetOrganisation = {name: 'second', keys: [SECOND_KEY], priority: 0};
/** Organisation whose limit cannot be read. */
const unreadable: FleetOrganisation = {name: 'unreadable', keys: ['secret-of-unreadable'], ratePerSecond: -1};
export const everyone: readonly FleetOrganisation[] = [first, second, unreadable];
