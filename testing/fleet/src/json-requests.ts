/** JSON over HTTP with the processes of a fleet. */
import {request} from 'undici';
import type {Endpoint} from '@pomelopick/core.types';

/** Reads JSON from a process of the fleet. */
export async function getJson<Shape>({endpoint, path: url}: {readonly endpoint: Endpoint; readonly path: string}): Promise<Shape> {
	const response = await request(`http://${endpoint.address}:${endpoint.port}${url}`);
	return await response.body.json() as Shape;
}

/** Sends JSON to a process of the fleet. */
export async function postJson({endpoint, path: url, body}: {readonly endpoint: Endpoint; readonly path: string; readonly body: unknown}): Promise<void> {
	const response = await request(`http://${endpoint.address}:${endpoint.port}${url}`, {method: 'POST', body: JSON.stringify(body)});
	await response.body.dump();
}
