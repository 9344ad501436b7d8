/** What the store holds of a shift: which instance may send how much of its cap. Pure functions on the stored value. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {InstanceId} from '@pomelopick/core.types';

/** Calls per second that one instance may send. */
export interface ShiftGrant {
	readonly holder: InstanceId;
	readonly callsPerSecond: number;
	/** Granted to the others when it was written; a lower cap in force leaves of the grant what these leave of the cap. */
	readonly othersCallsPerSecond: number;
	/** Time for which it is valid, in milliseconds from before its holder asked. */
	readonly durationMs: number;
	/** Grows with each write of this grant, so that an observer sees that it was renewed. */
	readonly epoch: number;
}

/** All grants of one shift. */
export interface ShiftLedger {
	readonly epoch: number;
	/** Highest version of the configuration under which a grant was written. */
	readonly configurationVersion: number;
	readonly grants: readonly ShiftGrant[];
}

/** A shift that nothing was granted of. */
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
	/** Holders whose grants have surely ended. */
	readonly ended: ReadonlySet<InstanceId>;
}

/**
 * The ledger with the holder's grant renewed, as large as the other grants leave room for.
 *
 * @returns Left `configuration-outdated` when a grant was written under a later configuration, whose cap is not known here.
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
	const room = Math.floor(capCallsPerSecond) - othersCallsPerSecond;
	const callsPerSecond = Math.max(0, Math.min(Math.floor(wantedCallsPerSecond), room));
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
 * Calls per second that a grant allows under the cap in force.
 *
 * In the order of their epochs, each grant leaves those before it what they allow; so the sum over all grants of a
 * ledger is at most the cap, also when the cap was another when they were written.
 */
export function allowedUnder({grant, capCallsPerSecond}: {readonly grant: ShiftGrant; readonly capCallsPerSecond: number}): number {
	return Math.min(grant.callsPerSecond, Math.max(0, Math.floor(capCallsPerSecond) - grant.othersCallsPerSecond));
}

/** The grant of a holder. */
export function findGrant({ledger, holder}: {readonly ledger: ShiftLedger; readonly holder: InstanceId}): ShiftGrant | undefined {
	return ledger.grants.find(grant => grant.holder === holder);
}
