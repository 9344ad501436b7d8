/** The backend server of an attempt. */
import type {ConnectedServer} from '@pomelopick/calls.connections';
import type {ContactedServer} from '@pomelopick/steering.servers';

/** One start of a backend server, with the address at which it listens. */
export type RelayServer = ConnectedServer & ContactedServer;
