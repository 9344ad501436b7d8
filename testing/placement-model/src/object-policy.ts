/** The product's own placement, as a gateway uses it. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {
	FailureDomainName, RegionName, Route, RouteName,
} from '@pomelopick/core.types';
import {ObjectPlacer} from '@pomelopick/steering.objects';
import type {ObjectPlacement} from '@pomelopick/steering.objects';
import {ObservationTable, ServerTable} from '@pomelopick/steering.servers';
import {drawPart} from './draw.js';
import type {CreatePolicy, ModelPlacement, ModelRefusal} from './policy.js';
import type {RequestKind} from './request-kind.js';
import {MODEL_SERVICE} from './world.js';

/** Creates the product's placement for one instance. */
export const createObjectPolicy: CreatePolicy = ({world, region, seed}) => {
	const servers = new ServerTable();
	for (const server of world.servers) {
		servers.write({server, nowMs: 0});
	}

	const observations = new ObservationTable();
	const random = xoroshiro128plus(seed);
	const placer = new ObjectPlacer({
		servers, observations, failureDomain: region as FailureDomainName, region: region as RegionName, regions: world.regions, mayTakeRate: () => true, rateClosedUntilMs: () => undefined, unavailableUntilMs: () => undefined, isUnreachable: () => false, random: () => drawPart(random),
	});
	const send = (options: {readonly placement: ObjectPlacement; readonly route: Route; readonly object: string; readonly sentAtMs: number}): ModelPlacement => {
		const {placement, route, object, sentAtMs} = options;
		const observed = observations.get(placement.known.server);
		const request = {expectedMs: placement.expectedMs, sentAtMs, workFactor: placement.workFactor};
		observed.begin(request);
		return {
			server: placement.known.server.name, onEnd({end, load, nowMs}) {
				observed.end({
					request, end, load, nowMs,
				});
				if (end === 'answered') {
					placer.recordAnswer({
						route, object, placement, heldMs: nowMs - sentAtMs, workFactor: load.workFactor, nowMs,
					});
				}
			},
		};
	};

	let start = 1;
	return {
		changeRegion({region: changed, isUp, nowMs}) {
			start += Number(isUp);
			for (const server of world.serversOf(changed)) {
				if (isUp) {
					servers.write({server: {...server, startedAtMs: start}, nowMs});
				} else {
					servers.remove({name: server.name, retainUntilMs: undefined});
				}
			}
		},
		place({request: {kind, object, answerByMs, avoid}, nowMs}) {
			const route = routeOf(kind);
			return placer.place({
				route, service: MODEL_SERVICE, object, avoid, deadlineMs: answerByMs, nowMs,
			}).caseOf<ModelPlacement | ModelRefusal>({
				Left: ({retryAfterMs}) => ({retryAfterMs}),
				Right: placement => send({
					placement, route, object, sentAtMs: nowMs,
				}),
			});
		},
	};
};

function routeOf({name, targetLatencyMs, deadlineMs}: RequestKind): Route {
	return {
		name: name as RouteName,
		host: 'model',
		prefix: '/',
		repeatability: 'idempotent',
		timeoutMs: deadlineMs,
		targetLatencyMs,
		priority: 1,
		targets: [{service: MODEL_SERVICE, weight: 1}],
		maxServers: 2,
		prefersWarmServers: true,
		homeRegions: [], isPublic: false, isUpload: false,
	};
}
