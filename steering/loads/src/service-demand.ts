/** Adds up what several instances report of the demand for services: the requests that organisations send, and those that are admitted. */
import type {OrganisationName, ServiceName} from '@pomelopick/core.types';

/** Requests of one priority for a service. */
export interface PriorityDemand {
	readonly priority: number;
	/** Requests per second that are sent, and those of them that are admitted. */
	readonly offeredRate: number;
	readonly admittedRate: number;
}

/** Requests of one organisation for a service. */
export interface OrganisationDemand {
	/** Empty for the requests without an organisation. */
	readonly holder: OrganisationName | '';
	/** Requests per second that are usual. */
	readonly usualRate: number;
	/** Requests per second at the moment, by priority. */
	readonly rates: ReadonlyMap<number, number>;
}

/** What becomes of the requests for a service. */
export interface ServiceFlow {
	/** Requests per second that its servers answer. */
	readonly answeredRate: number;
	/** Sum of the expected waits of the requests of a second, each as a share of the longest that the request accepts. */
	readonly waitRate: number;
	/** Number of instances that measured it. */
	readonly instances: number;
}

/** Demand for one service. */
export interface ServiceDemand {
	readonly service: ServiceName;
	readonly priorities: readonly PriorityDemand[];
	/** Organisations with a noticeable demand; may be less than all of them. */
	readonly organisations: readonly OrganisationDemand[];
	/** Absent where a part of the demand comes from an instance of a build that does not tell it. */
	readonly flow?: ServiceFlow | undefined;
}

interface DemandSum {
	flow: ServiceFlow | undefined;
	readonly priorities: Map<number, PriorityDemand>;
	readonly organisations: Map<OrganisationDemand['holder'], {usualRate: number; readonly rates: Map<number, number>}>;
}

/** Adds up demands by service, priority and organisation. One pass: a collector adds up thousands of entries several times a second. */
export function addDemands(demands: readonly ServiceDemand[]): readonly ServiceDemand[] {
	const sums = new Map<ServiceName, DemandSum>();
	for (const demand of demands) {
		let sum = sums.get(demand.service);
		if (!sum) {
			sum = {flow: {answeredRate: 0, waitRate: 0, instances: 0}, priorities: new Map(), organisations: new Map()};
			sums.set(demand.service, sum);
		}

		addDemand({sum, demand});
		sum.flow = addFlows(sum.flow, demand.flow);
	}

	return [...sums].map(([service, {flow, priorities, organisations}]) => ({
		service, priorities: [...priorities.values()], organisations: [...organisations].map(([holder, organisation]) => ({holder, ...organisation})), ...(flow && {flow}),
	}));
}

/** Requests per second of an organisation at the moment, over all priorities. */
export function recentRateOf({rates}: Pick<OrganisationDemand, 'rates'>): number {
	let total = 0;
	for (const rate of rates.values()) {
		total += rate;
	}

	return total;
}

function addFlows(left: ServiceFlow | undefined, right: ServiceFlow | undefined): ServiceFlow | undefined {
	return left && right && {answeredRate: left.answeredRate + right.answeredRate, waitRate: left.waitRate + right.waitRate, instances: left.instances + right.instances};
}

function addDemand({sum: {priorities, organisations}, demand}: {readonly sum: DemandSum; readonly demand: ServiceDemand}): void {
	for (const {priority, offeredRate, admittedRate} of demand.priorities) {
		const sum = priorities.get(priority);
		priorities.set(priority, {priority, offeredRate: offeredRate + (sum?.offeredRate ?? 0), admittedRate: admittedRate + (sum?.admittedRate ?? 0)});
	}

	for (const {holder, usualRate, rates} of demand.organisations) {
		const sum = organisations.get(holder);
		if (sum) {
			sum.usualRate += usualRate;
			for (const [priority, rate] of rates) {
				sum.rates.set(priority, (sum.rates.get(priority) ?? 0) + rate);
			}
		} else {
			organisations.set(holder, {usualRate, rates: new Map(rates)});
		}
	}
}
