//! Tests that the schema matches the serialized types.

use {
    super::SCHEMA,
    crate::{
        agree::MemberStatus,
        policy::{Amount, Cap, Change, Command, Drain, Place, Shift},
    },
    serde_json::{Value, json},
};

fn schema() -> Value {
    serde_json::from_str(SCHEMA).unwrap()
}

/// Names of the properties of a type in the schema, sorted.
fn properties(name: &str) -> Vec<String> {
    let schema = schema();
    let rows = schema["components"]["schemas"][name]["properties"].as_object();
    let mut names: Vec<String> = rows
        .unwrap_or_else(|| panic!("{name}"))
        .keys()
        .cloned()
        .collect();
    names.sort();
    names
}

fn fields(value: &Value) -> Vec<String> {
    let mut names: Vec<String> = value.as_object().unwrap().keys().cloned().collect();
    names.sort();
    names
}

fn changes() -> Vec<Change> {
    let place = Place::Region("tamar".to_owned());
    let shift = Shift {
        name: "s".to_owned(),
        service: "cellwatch".to_owned(),
        from: Place::AvailabilityZone("derwent-a".to_owned()),
        to: place.clone(),
        amount: Amount::Permille(1),
        cap: Amount::PerSecond(1),
    };
    let cap = Cap {
        service: "cellwatch".to_owned(),
        to: place.clone(),
        amount: Amount::Permille(5),
    };
    vec![
        Change::PutShift(shift),
        Change::EndShift("s".to_owned()),
        Change::PutDrain(Drain::Vm("entry-1".to_owned())),
        Change::EndDrain(Drain::Upstream("u".to_owned())),
        Change::PutCap(cap),
        Change::EndCap {
            service: "cellwatch".to_owned(),
            to: place,
        },
    ]
}

#[test]
fn schema_and_types_have_the_same_fields() {
    let command = Command {
        id: "c".to_owned(),
        operator: "o".to_owned(),
        expected: 0,
        change: changes().remove(0),
    };
    let value = serde_json::to_value(&command).unwrap();
    assert_eq!(fields(&value), properties("Command"));
    let shift = &value["change"]["put_shift"];
    assert_eq!(fields(shift), properties("Shift"));
    let cap = serde_json::to_value(&changes()[4]).unwrap();
    assert_eq!(fields(&cap["put_cap"]), properties("Cap"));
}

#[test]
fn schema_and_types_have_the_same_changes() {
    let mut named: Vec<String> = Vec::new();
    for change in changes() {
        named.extend(fields(&serde_json::to_value(change).unwrap()));
    }
    named.sort();
    assert_eq!(named, properties("Change"));
}

#[test]
fn schema_and_types_have_the_same_member_fields() {
    let address = "127.0.0.1:1".parse().unwrap();
    let member = MemberStatus {
        name: "control-1".to_owned(),
        peers: address,
        operators: address,
        voter: true,
        leads: true,
        alive: true,
        behind: 0,
    };
    let value = serde_json::to_value(member).unwrap();
    assert_eq!(fields(&value), properties("Member"));
}

#[test]
fn unknown_fields_are_rejected_by_name() {
    let value = json!({"id": "c", "operator": "o", "expected": 0, "colour": 1,
        "change": {"end_shift": "s"}});
    let error = serde_json::from_value::<Command>(value).unwrap_err();
    assert!(error.to_string().contains("colour"), "{error}");
}

#[test]
fn schema_lists_exactly_the_served_methods() {
    let schema = schema();
    let methods = schema["methods"].as_array().unwrap();
    let mut names: Vec<&str> = methods
        .iter()
        .filter_map(|row| row["name"].as_str())
        .collect();
    names.sort_unstable();
    assert_eq!(
        names,
        [
            "add_member",
            "check",
            "fleet",
            "history",
            "members",
            "remove_member",
            "status",
            "submit"
        ]
    );
}
