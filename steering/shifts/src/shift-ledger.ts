/** The ledger of a shift in the store: how much of the shift's cap each instance may use. Pure functions on the stored value. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {InstanceId} from '@pomelopick/core.types';

/** The calls per second that one instance may send under a shift. */
export interface ShiftGrant {
	readonly holder: InstanceId;
	readonly callsPerSecond: number;
	/** Calls per second granted to the others when this grant was written. Under a lower active cap, the grant allows only what these leave of the cap. */
	readonly othersCallsPerSecond: number;
	/** Time for which it is valid, in milliseconds, measured from before its holder requested it. */
	readonly durationMs: number;
	/** Grows with each write of this grant, so that an observer detects the renewal. */
	readonly epoch: number;
}

/** All grants of one shift. */
export interface ShiftLedger {
	readonly epoch: number;
	/** Highest version of the configuration under which a grant was written. */
	readonly configurationVersion: number;
	readonly grants: readonly ShiftGrant[];
}

/** Ledger of a shift without grants. */
export const emptyLedger: ShiftLedger = {epoch: 0, configurationVersion: 0, grants: []};

/** Options of {@link planGrant}. */
export interface PlanGrantOptions {
	readonly ledger: ShiftLedger;
	readonly holder: InstanceId;
	readonly wantedCallsPerSecond: number;
	readonly capCallsPerSecond: number;
	/** Version of the configuration that gives the cap. */
	readonly configurationVersion: number;
	readonly durationMs: number;
	/** Holders whose grants have certainly expired. */
	readonly ended: ReadonlySet<InstanceId>;
}

/**
 * Returns the ledger with the holder's grant renewed, as large as the other grants allow.
 *
 * @returns Left `configuration-outdated` if a grant was written under a later configuration, whose cap is unknown here.
 */
export function planGrant(options: PlanGrantOptions): Either<'configuration-outdated', ShiftLedger> {
	const {
		ledger, holder, wantedCallsPerSecond, capCallsPerSecond, configurationVersion, durationMs, ended,
	} = options;
	if (configurationVersion < ledger.configurationVersion) {
		return Left('configuration-outdated');
	}

	const others = ledger.grants.filter(grant => grant.holder !== holder && !ended.has(grant.holder));
	const othersCallsPerSecond = others.reduce((sum, grant) => sum + grant.callsPerSecond, 0);
	const remaining = Math.floor(capCallsPerSecond) - othersCallsPerSecond;
	const callsPerSecond = Math.max(0, Math.min(Math.floor(wantedCallsPerSecond), remaining));
	const epoch = ledger.epoch + 1;
	return Right({
		epoch,
		configurationVersion,
		grants: callsPerSecond === 0
			? others
			: [...others, {
				holder, callsPerSecond, othersCallsPerSecond, durationMs, epoch,
			}],
	});
}

/**
 * Calls per second that a grant allows under the active cap.
 *
 * In the order of their epochs, each grant allows only what the grants before it leave of the cap. So the sum over all
 * grants of a ledger is at most the active cap, even if the cap was different when they were written.
 */
export function allowedUnder({grant, capCallsPerSecond}: {readonly grant: ShiftGrant; readonly capCallsPerSecond: number}): number {
	return Math.min(grant.callsPerSecond, Math.max(0, Math.floor(capCallsPerSecond) - grant.othersCallsPerSecond));
}

/** The grant of a holder. */
export function findGrant({ledger, holder}: {readonly ledger: ShiftLedger; readonly holder: InstanceId}): ShiftGrant | undefined {
	return ledger.grants.find(grant => grant.holder === holder);
}
