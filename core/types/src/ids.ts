/** Branded identifiers. They are created by casts where input is validated. */
import type {Brand} from './brand.js';

/** Name of a region. */
export type RegionName = Brand<string, 'RegionName'>;
/** Name of a failure domain. */
export type FailureDomainName = Brand<string, 'FailureDomainName'>;
/** Name of a site: a location of backend servers inside a failure domain. */
export type SiteName = Brand<string, 'SiteName'>;
/** Name of an inter-region link. */
export type LinkName = Brand<string, 'LinkName'>;
/** Name of a service. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** Name of a backend server. */
export type BackendServerName = Brand<string, 'BackendServerName'>;
/** Name of a traffic shift. */
export type ShiftName = Brand<string, 'ShiftName'>;
/** Name of a drain. */
export type DrainName = Brand<string, 'DrainName'>;
/** Name of a spill rule. */
export type RuleName = Brand<string, 'RuleName'>;
/** Identifier of one of the system's own instances. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** Identifier of one call, unique in the fleet. */
export type CallId = Brand<string, 'CallId'>;
/** Identifier of one publish attempt. */
export type PublishId = Brand<string, 'PublishId'>;
/** Version of a configuration: a positive integer that never decreases. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;
/** Name of an organisation. */
export type OrganisationName = Brand<string, 'OrganisationName'>;
/** Key with which callers of an organisation authenticate. Never logged, counted or passed on. */
export type OrganisationKey = Brand<string, 'OrganisationKey'>;
/** Name of a route. */
export type RouteName = Brand<string, 'RouteName'>;
