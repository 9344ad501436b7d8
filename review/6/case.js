/** Callers send bookings with many headers, within the limits that the operator sets. Each server must get the body that was sent. */
import {createHash} from 'node:crypto';
import {call} from '../shared-2/caller.js';
import {HOST, startDeployment} from '../shared-2/deployment.js';
import {playCase} from '../shared-2/play.js';

const REQUESTS_EACH = 10;
/** Headers beside those that the platform's clients send. Together they stay below a quarter of `max-header-bytes`. */
const MANY_HEADERS = 110;
const FEW_HEADERS = 20;

await playCase({
	caseFolder: import.meta.dirname,
	async play({folder, record, hasTrouble, add}) {
		const {servers, gateways} = await startDeployment({
			add, folder, record, machineZones: ['inverness-a', 'glasgow-a', 'dumfries-a'],
		});
		const runs = new Map();
		for (const server of servers) {
			server.onRun = ({id, body}) => {
				runs.set(id, digest(body));
			};
		}

		const extraHeaders = listHeaders(hasTrouble ? MANY_HEADERS : FEW_HEADERS);
		let broken = 0;
		for (const gateway of gateways) {
			for (let number = 0; number < REQUESTS_EACH; number += 1) {
				const body = JSON.stringify({tonnes: 10 + number, site: gateway.zone});
				const {id, status} = await call({
					gateway, record, host: HOST, method: 'POST', path: `/book/${number}`, body, headers: {'x-affinity-key': String(number), ...extraHeaders},
				});
				const isChanged = runs.has(id) && runs.get(id) !== digest(body);
				record.line('checked', {
					request: id, status, ran: runs.has(id), isBodyChanged: isChanged,
				});
				broken += Number(isChanged);
			}
		}

		return broken;
	},
});

function listHeaders(count) {
	return Object.fromEntries(Array.from({length: count}, (_, index) => [`x-depot-${index}`, `gritting-${index}`]));
}

function digest(body) {
	return createHash('sha256').update(body).digest('hex');
}
