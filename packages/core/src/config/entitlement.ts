/** What one customer gets from the configuration in force. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { ModelId } from '../target/target.js';

import type {
  Configuration,
  CustomerLimits,
  ParameterValue,
  RankingSettings,
  Template,
  TemplateCustomer,
  TemplateOperation,
} from './template.js';

/** A model that the customer may ask for by its alias. */
export interface EntitledModel {
  readonly alias: string;
  readonly id: ModelId;
}

/** The customer's share of a template, with parameters filled in. */
export interface Entitlement {
  readonly customer: string;
  readonly template: string;
  /** Revision that admitted the request; it keeps it to its end. */
  readonly revision: number;
  readonly ranking: RankingSettings;
  readonly limits: CustomerLimits;
  readonly models: readonly EntitledModel[];
  readonly operations: readonly TemplateOperation[];
}

const parameterPattern = /\$\{([^}]*)\}/g;

/** Fills `${name}` in a text; unknown names are left for the check to find. */
export const substituteParameters = (
  text: string,
  parameters: Readonly<Record<string, ParameterValue>>,
): string =>
  text.replace(parameterPattern, (whole, name: string) =>
    String(parameters[name] ?? whole),
  );

const resolveParameters = (template: Template, customer: TemplateCustomer) => {
  const values: Record<string, ParameterValue> = {};
  for (const [name, parameter] of Object.entries(template.parameters)) {
    const value = customer.parameters[name] ?? parameter.default;
    if (value !== undefined) values[name] = value;
  }
  return values;
};

const createEntitlement = (
  template: Template,
  name: string,
  customer: TemplateCustomer,
  revision: number,
): Entitlement => {
  const parameters = resolveParameters(template, customer);
  const fill = (text: string) => substituteParameters(text, parameters);
  return {
    customer: name,
    template: template.name,
    revision,
    ranking: template.ranking,
    limits: template.limits,
    models: template.models.map(model => ({
      alias: model.alias,
      id: {
        name: fill(model.name),
        version: fill(model.version),
        adapter: model.adapter === undefined ? undefined : fill(model.adapter),
      },
    })),
    operations: template.operations,
  };
};

/** Finds the customer's entitlement; `forbidden` when no template has it. */
export const resolveEntitlement = (
  configuration: Configuration,
  name: string,
): Either<Failure, Entitlement> => {
  for (const template of Object.values(configuration.templates)) {
    const customer = template.customers[name];
    if (customer !== undefined) {
      return Right(
        createEntitlement(template, name, customer, configuration.revision),
      );
    }
  }
  return Left(new Failure('forbidden', `customer "${name}" has no template`));
};
