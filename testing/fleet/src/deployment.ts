/** Shapes of the two deployments. */
export {
	hebrides, listFailureDomains, planServers, popescuVlad, toConfigurationSet,
	type Deployment, type DeploymentService, type PlannedServer, type ToConfigurationSetOptions,
} from '@pomelopick/config.examples';
