/** The admission state of all services at this instance. */
import type {ServiceName} from '@pomelopick/core.types';
import type {ServiceDemand} from '@pomelopick/steering.loads';
import {findOrCreate} from './find-or-create.js';
import {ServiceAdmission} from './service-admission.js';

/** Keeps a {@link ServiceAdmission} for each service that had requests. */
export class AdmissionTable {
	readonly #services = new Map<ServiceName, ServiceAdmission>();

	/** Returns the state of a service; creates it for the first request. */
	get({service, nowMs}: {readonly service: ServiceName; readonly nowMs: number}): ServiceAdmission {
		return findOrCreate({map: this.#services, key: service, create: () => new ServiceAdmission(nowMs)});
	}

	/** Pressure at each service, from 0 to 1. */
	pressures(nowMs: number): ReadonlyMap<ServiceName, number> {
		return new Map([...this.#services].map(([service, admission]) => [service, admission.pressure(nowMs)]));
	}

	/** Lists the demand for each service that this instance measures. */
	listDemands(nowMs: number): readonly ServiceDemand[] {
		return [...this.#services].map(([service, admission]) => admission.measureDemand({service, nowMs}));
	}

	/** Applies the sums over all instances; services of which no request came to this instance need none. */
	applyFleetDemands({demands, liveInstances, nowMs}: {readonly demands: readonly ServiceDemand[]; readonly liveInstances: number; readonly nowMs: number}): void {
		for (const demand of demands) {
			this.#services.get(demand.service)?.applyFleetDemand({demand, liveInstances, nowMs});
		}
	}
}
