package io.shallotspur.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.contract.BearerKey;
import io.shallotspur.exc.InputException;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.route.Customer;
import io.shallotspur.route.QuotaUnit;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteTable;

/**
 * Tests that customers are decoded from the operator's configuration.
 */
class CustomerConfigTests {

	private static RouteTable decodeTable(String tenants) throws IOException, InputException {
		return ConfigDecoder.decode(StoreEntryCodec.JSON.readTree("""
				{"version":7,"routes":[{"name":"r","host":"h","prefix":"/r/","kind":"safe","priority":2,"service":"s"},
				{"name":"o","host":"h","prefix":"/o/","kind":"safe","service":"s","allow_anonymous":true}],
				"services":[{"name":"s"}]%s}""".formatted(tenants)));
	}

	private static Customer customer(RouteTable t, String key) {
		return t.findCustomer(BearerKey.hash(key)).orElseThrow();
	}

	@Test
	void decodesKeysPriorityAndQuota() throws IOException, InputException {
		RouteTable t = decodeTable("""
				,"tenants":[{"name":"huka270","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,
				"rate_per_s":246600,"burst_size":123300,"new_field":1}]""");
		Customer c = customer(t, "k2");
		Assertions.assertThat(c.name()).isEqualTo("huka270");
		Assertions.assertThat(c.quota().unit()).isEqualTo(QuotaUnit.TOKENS);
		Assertions.assertThat(c.quota().unitsPerSecond()).isEqualTo(246_600);
		Assertions.assertThat(c.quota().burst()).isEqualTo(123_300);
		Route r = t.findRoute("h", "/r/x").orElseThrow();
		Assertions.assertThat(c.priorityOn(r)).isEqualTo(1);
		Assertions.assertThat(t.findCustomer(BearerKey.hash("k3"))).isEmpty();
		Assertions.assertThat(t.requiresKeys()).isTrue();
		Assertions.assertThat(r.allowsAnonymous()).isFalse();
		Assertions.assertThat(t.findRoute("h", "/o/x").orElseThrow().allowsAnonymous()).isTrue();
	}

	// A missing, null or zero rate means no limit. If it were taken as a limit of
	// zero, every request of the customer would be refused.
	@Test
	void missingRateAndPriorityUseDefaults() throws IOException, InputException {
		RouteTable t = decodeTable(
				",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k1\"]},{\"name\":\"b\",\"api_keys\":[\"k2\"],\"rate_per_s\":0,\"priority\":null}]");
		Assertions.assertThat(customer(t, "k1").quota().isLimited()).isFalse();
		Assertions.assertThat(customer(t, "k2").quota().isLimited()).isFalse();
		Assertions.assertThat(customer(t, "k1").priorityOn(t.findRoute("h", "/r/x").orElseThrow())).isEqualTo(2);
	}

	// The last key of a customer is removed. Its callers must not be served as anonymous.
	@Test
	void customerWithoutKeysStillRequiresAKey() throws IOException, InputException {
		Assertions.assertThat(decodeTable(",\"tenants\":[{\"name\":\"a\",\"api_keys\":[]}]").requiresKeys()).isTrue();
		Assertions.assertThat(decodeTable("").requiresKeys()).isFalse();
	}

	// Guards against a limit or a rank that cannot be read and is taken for none: the
	// customer would have all workers, or lose its rank, until somebody notices.
	@ParameterizedTest
	@ValueSource(strings = { "\"rate_per_s\":-1", "\"rate_per_s\":\"47000\"", "\"rate_per_s\":1e999",
			"\"rate_per_s\":{}", "\"burst_size\":-0.5", "\"burst_size\":true", "\"plain_tokens\":-200",
			"\"plain_tokens\":[200]", "\"priority\":-1", "\"priority\":1.5", "\"priority\":\"0\"",
			"\"priority\":9999999999", "\"unit\":7" })
	void refusesCustomerWhoseRankOrQuotaIsUnreadable(String field) {
		String tenants = ",\"tenants\":[{\"name\":\"a\"},{\"name\":\"huka270\",\"api_keys\":[\"k1\"]," + field + "}]";
		String name = field.substring(1, field.indexOf(':') - 1);
		Assertions.assertThatThrownBy(() -> decodeTable(tenants))
			.isInstanceOf(InputException.class)
			.hasMessageContaining("huka270")
			.hasMessageContaining(name);
	}

	@ParameterizedTest
	@ValueSource(strings = { "\"priority\":-1", "\"priority\":\"high\"",
			"\"traffic_split\":[{\"service\":\"s\",\"weight\":-1}]",
			"\"traffic_split\":[{\"service\":\"s\",\"weight\":\"all\"}]" })
	void refusesRouteWhoseRankOrWeightIsUnreadable(String field) {
		Assertions.assertThatThrownBy(() -> ConfigDecoder.decode(StoreEntryCodec.JSON.readTree("""
				{"version":8,"routes":[{"name":"pay","host":"h","prefix":"/r/","kind":"safe","service":"s",%s}],
				"services":[{"name":"s"}]}""".formatted(field))))
			.isInstanceOf(InputException.class)
			.hasMessageContaining("pay");
	}

	// Guards against a refused configuration that stops the watch or removes the one in
	// force.
	@Test
	void unreadableConfigurationLeavesTheOneInForce() throws IOException {
		String value = Base64.getEncoder()
			.encodeToString("{\"version\":9,\"routes\":[],\"services\":[],\"tenants\":[{\"rate_per_s\":-1}]}"
				.getBytes(StandardCharsets.UTF_8));
		JsonNode item = StoreEntryCodec.JSON
			.readTree("{\"key\":\"op/config\",\"revision\":5,\"value\":\"%s\"}".formatted(value));
		Assertions.assertThat(StoreEntryCodec.decode(item, 0)).get().isInstanceOf(RegistryChange.EntryUnreadable.class);
	}

}
