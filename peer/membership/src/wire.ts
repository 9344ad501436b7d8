/** Converts between wire messages and the types of the member table. */
import {create} from '@bufbuild/protobuf';
import type {FailureDomainName, InstanceId} from '@pomelopick/core.types';
import {
	HeldConfigurationSchema, MemberRecordSchema, NewsSchema, ObservationSchema,
} from '@pomelopick/peer.protocol';
import type {
	HeldConfiguration, MemberRecord as MemberRecordMessage, News as NewsMessage, Observation as ObservationMessage,
} from '@pomelopick/peer.protocol';
import type {
	HeldVersion, MemberRecord, MembershipUpdates, Observation,
} from './member.js';

/** Encodes updates. */
export function toNewsMessage({records, observations}: MembershipUpdates): NewsMessage {
	return create(NewsSchema, {records: records.map(record => toRecordMessage(record)), observations: observations.map(observation => toObservationMessage(observation))});
}

/** Decodes updates; an absent message decodes as empty. */
export function fromNewsMessage(message: NewsMessage | undefined): MembershipUpdates {
	return {
		records: (message?.records ?? []).map(record => fromRecordMessage(record)),
		observations: (message?.observations ?? []).map(observation => fromObservationMessage(observation)),
	};
}

/** Encodes the active configuration version. */
export function toHeldMessage({version, digest, ageMs}: HeldVersion): HeldConfiguration {
	return create(HeldConfigurationSchema, {version: BigInt(version), digest, ageMs: BigInt(Math.max(0, Math.round(ageMs)))});
}

/** Decodes the active configuration version. */
export function fromHeldMessage(message: HeldConfiguration | undefined): HeldVersion {
	return {version: Number(message?.version ?? 0n), digest: message?.digest ?? '', ageMs: Number(message?.ageMs ?? 0n)};
}

function toRecordMessage({instance, incarnation, leaving, loadSequence, loadPercent}: MemberRecord): MemberRecordMessage {
	return create(MemberRecordSchema, {
		instance: instance.id,
		incarnation: BigInt(incarnation),
		failureDomain: instance.failureDomain,
		address: instance.peers.address,
		callersPort: instance.callers.port,
		peersPort: instance.peers.port,
		operatorsPort: instance.operators.port,
		leaving,
		loadSequence,
		loadPercent,
	});
}

function fromRecordMessage(message: MemberRecordMessage): MemberRecord {
	const {address} = message;
	return {
		instance: {
			id: message.instance as InstanceId,
			failureDomain: message.failureDomain as FailureDomainName,
			state: message.leaving ? 'leaving' : 'live',
			callers: {address, port: message.callersPort},
			peers: {address, port: message.peersPort},
			operators: {address, port: message.operatorsPort},
		},
		incarnation: Number(message.incarnation),
		leaving: message.leaving,
		loadSequence: message.loadSequence,
		loadPercent: message.loadPercent,
	};
}

function toObservationMessage({subject, subjectIncarnation, observer, sequence, unreachable, refused}: Observation): ObservationMessage {
	return create(ObservationSchema, {
		subject, subjectIncarnation: BigInt(subjectIncarnation), observer, sequence: BigInt(sequence), unreachable, refused,
	});
}

function fromObservationMessage(message: ObservationMessage): Observation {
	return {
		subject: message.subject as InstanceId,
		subjectIncarnation: Number(message.subjectIncarnation),
		observer: message.observer as InstanceId,
		sequence: Number(message.sequence),
		unreachable: message.unreachable,
		refused: message.refused,
	};
}
